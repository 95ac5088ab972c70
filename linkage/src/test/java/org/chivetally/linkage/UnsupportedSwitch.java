package org.chivetally.linkage;

/** A pattern switch with a qualified enum constant as a label, which the build step doesn't support. */
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
