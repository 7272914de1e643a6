"""Exports spans to a file with OpenTelemetry's SDK: one JSON object per line, no collector needed."""

from pathlib import Path
from typing import Any

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SimpleSpanProcessor
from opentelemetry.sdk.trace.id_generator import IdGenerator
from opentelemetry.trace import NonRecordingSpan, SpanContext, Status, StatusCode, TraceFlags, set_span_in_context

from .tree import SpanTree

NANOSECONDS = 1_000_000_000  # in a second


class PresetIdGenerator(IdGenerator):
    """Supplies the ids that a tree already has, so that a dialog has the same ids whenever its trace is read."""

    def __init__(self) -> None:
        self.trace_id = self.span_id = 0

    def generate_trace_id(self) -> int:
        return self.trace_id

    def generate_span_id(self) -> int:
        return self.span_id


class SpanFileWriter:
    """Writes span trees to a new file. Raises OSError."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file = path.open("w", encoding="utf-8")
        self.ids = PresetIdGenerator()
        self.exporter = SimpleSpanProcessor(
            ConsoleSpanExporter(out=self.file, formatter=lambda span: span.to_json(indent=None) + "\n")
        )
        self.providers: dict[str, TracerProvider] = {}  # by instance
        self.dialogs = self.spans = 0

    def __enter__(self) -> "SpanFileWriter":
        return self

    def __exit__(self, *_: Any) -> None:
        self.close()

    def close(self) -> None:
        self.file.close()

    def write(self, tree: SpanTree) -> None:
        provider = self.providers.get(tree.instance)
        if provider is None:
            provider = self.providers[tree.instance] = TracerProvider(
                resource=Resource({"service.name": "gingergap", "service.instance.id": tree.instance}),
                id_generator=self.ids,
                shutdown_on_exit=False,
            )
            provider.add_span_processor(self.exporter)
        tracer = provider.get_tracer("gingergap.spans")
        self.ids.trace_id = int.from_bytes(tree.trace_id)
        for span in tree.spans:
            self.ids.span_id = int.from_bytes(span.id)
            context = None
            if span.parent:
                parent = SpanContext(self.ids.trace_id, int.from_bytes(span.parent), True, TraceFlags(TraceFlags.SAMPLED))
                context = set_span_in_context(NonRecordingSpan(parent))
            sdk_span = tracer.start_span(
                span.name,
                context,
                start_time=self._nanoseconds(tree, span.begin),
                attributes={
                    **{f"gingergap.{name.replace(' ', '_')}": value for name, value in span.attributes.items()},
                    "gingergap.position": f"{span.file}:{span.record_index}",
                },
            )
            if span.name in ("dialog", "transit") and not tree.established:
                sdk_span.set_status(Status(StatusCode.ERROR, str(span.attributes.get("cause", ""))))
            sdk_span.end(self._nanoseconds(tree, span.end))
            self.spans += 1
        self.dialogs += 1

    @staticmethod
    def _nanoseconds(tree: SpanTree, when: int) -> int:
        """Wall-clock time of a time of the trace's clock."""
        return round(tree.wall * NANOSECONDS) + when * 100_000
