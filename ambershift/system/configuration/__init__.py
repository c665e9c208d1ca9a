"""The operator's configuration: parsed, validated, agreed on, and written back as a document."""
