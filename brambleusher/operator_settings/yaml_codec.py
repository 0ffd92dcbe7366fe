"""YAML as files of operators have it."""

from __future__ import annotations

from brambleusher.operator_settings.section import OperatorFileError

MAX_FILE_BYTES = 256 * 1024


def decode_yaml(text: bytes) -> object:
    """Decode YAML by the safe loader, with texts for keys and none of them twice.

    Raises:
        OperatorFileError: It is not YAML, or a key is no text or given twice; the message has the line.
    """
    import yaml  # here, so that a sidecar without an operator file doesn't pay for it

    class Loader(yaml.SafeLoader):
        """The safe loader, less its way of letting the later of two keys win."""

    def mapping(loader: Loader, node: yaml.MappingNode) -> dict[str, object]:
        values: dict[str, object] = {}
        for key_node, value_node in node.value:
            key, line = loader.construct_object(key_node, deep=True), key_node.start_mark.line + 1
            if not isinstance(key, str):
                raise OperatorFileError(f"the key {key!r} in line {line} is not a text")
            if key in values:
                raise OperatorFileError(f"{key} in line {line} is given twice")
            values[key] = loader.construct_object(value_node, deep=True)
        return values

    Loader.add_constructor("tag:yaml.org,2002:map", mapping)
    try:
        return yaml.load(text, Loader)  # a subclass of the safe loader
    except OperatorFileError:
        raise
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise OperatorFileError(f"not YAML: {' '.join(str(error).split())}") from None
