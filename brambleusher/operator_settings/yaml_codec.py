"""YAML decoder for operator files."""

from __future__ import annotations

from brambleusher.operator_settings.section import OperatorFileError

MAX_FILE_BYTES = 256 * 1024


def decode_yaml(text: bytes) -> object:
    """Decode YAML with the safe loader; keys must be distinct strings.

    Raises:
        OperatorFileError: The text is not YAML, or a key is duplicated or not a string; the message has
            the line.
    """
    import yaml  # imported here, since a sidecar without an operator file does not need it

    class Loader(yaml.SafeLoader):
        """Safe loader that rejects duplicate keys instead of using the last one."""

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
        return yaml.load(text, Loader)  # safe, since `Loader` is a subclass of the safe loader
    except OperatorFileError:
        raise
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise OperatorFileError(f"not YAML: {' '.join(str(error).split())}") from None
