package org.chivetally.linkage;

/** A pattern switch with a label that the step doesn't know. */
final class UnsupportedSwitch {
    private UnsupportedSwitch() {}

    static String of(Object value) {
        return switch (value) {
            case Samples.Colour.RED -> "red";
            case Samples.Colour other -> "colour";
            default -> "other";
        };
    }
}
