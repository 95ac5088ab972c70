package org.chivetally.command.output;

import java.util.Locale;

/** How a command writes what it found. */
public enum OutputFormat {
    /** Aligned columns for a person. */
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
