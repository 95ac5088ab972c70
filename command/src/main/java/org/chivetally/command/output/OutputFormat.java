package org.chivetally.command.output;

import java.util.Locale;

/** Output formats of a command. */
public enum OutputFormat {
    /** Aligned columns for human readers. */
    TABLE,
    /** JSON, indented. */
    JSON,
    /** YAML. */
    YAML;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
