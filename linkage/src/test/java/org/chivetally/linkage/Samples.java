package org.chivetally.linkage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Records and pattern switches of all supported forms, with their results for many values. */
final class Samples {
    private static final Object[] VALUES = {
        "text",
        "",
        1,
        -7,
        2L,
        'c',
        Colour.RED,
        Colour.GREEN,
        Colour.BLUE,
        new Pair("a", 1),
        new Pair(null, 2),
        new Box<>(new Pair("b", 3)),
        new Box<>(null),
        new int[] {1},
        List.of(1),
        3.5
    };

    private Samples() {}

    enum Colour {
        RED,
        GREEN {
            @Override
            public String toString() {
                return "leaf";
            }
        },
        BLUE
    }

    interface Shape {}

    record Pair(String name, int number) implements Shape {}

    record Box<T>(T content) implements Shape {}

    record Empty() {}

    record Numbers(byte b, short s, char c, int i, long l, float f, double d, boolean z) {}

    record Arrayed(int[] numbers, char[] letters, List<String> texts) {}

    /** Declares {@code toString} itself, so that only {@code equals} and {@code hashCode} are generated. */
    record Own(int value) {
        @Override
        public String toString() {
            return "own " + value;
        }
    }

    /** Returns the results of all switches and record methods as texts, in a fixed order. */
    static List<String> results() {
        List<String> results = new ArrayList<>();
        for (Object value : VALUES) {
            results.add(kind(value) + ' ' + guarded(value) + ' ' + nested(value));
        }
        results.add(kind(null) + ' ' + nullLabel(null));
        results.add(thrown());
        for (Colour colour : Colour.values()) {
            results.add(colour(colour));
        }
        addRecords(results);
        return results;
    }

    private static String kind(Object value) {
        return switch (value) {
            case null -> "null";
            case String text -> "text " + text.length();
            case Integer number when number > 0 -> "positive";
            case Integer number -> "number " + number;
            case Colour colour -> "colour " + colour.name();
            case Shape shape -> "shape";
            case int[] numbers -> "numbers " + numbers.length;
            default -> "other";
        };
    }

    private static String guarded(Object value) {
        return switch (value) {
            case Object any when any.hashCode() == 1 -> "one";
            case Number number when number.intValue() == 2 -> "two";
            case Comparable<?> comparable when comparable instanceof String -> "comparable text";
            case Number number -> "number";
            default -> "rest";
        };
    }

    private static String nested(Object value) {
        return switch (value) {
            case Box<?>(Pair(String name, int number)) -> "box of " + name + number;
            case Box<?>(var content) -> "box " + content;
            case Pair(String name, int number) when name == null -> "nameless " + number;
            case Pair pair -> "named";
            default -> "none";
        };
    }

    private static String nullLabel(Shape shape) {
        return switch (shape) {
            case Pair pair -> "pair";
            case null, default -> "null or other";
        };
    }

    private static String thrown() {
        Shape none = null;
        try {
            return switch (none) {
                case Pair pair -> "pair";
                default -> "other";
            };
        } catch (NullPointerException e) {
            return "exception";
        }
    }

    private static String colour(Colour colour) {
        return switch (colour) {
            case RED -> "red";
            case Colour other when other.toString().equals("leaf") -> "leaf";
            case GREEN -> "green";
            case Colour other -> "other";
        };
    }

    private static void addRecords(List<String> results) {
        List<Object> records = List.of(
                new Empty(),
                new Own(4),
                new Pair("a", 1),
                new Pair("a", 2),
                new Pair(null, 1),
                new Pair(null, 1),
                new Box<>(new Box<>(5)),
                new Numbers((byte) -1, (short) 2, 'x', 3, 1L << 40, 0.0f, -0.0, true),
                new Numbers((byte) -1, (short) 2, 'x', 3, 1L << 40, -0.0f, 0.0, true),
                new Numbers((byte) -1, (short) 2, 'x', 3, 1L << 40, Float.NaN, Double.NaN, false),
                new Numbers((byte) -1, (short) 2, 'x', 3, 1L << 40, Float.NaN, Double.NaN, false));
        for (Object left : records) {
            results.add(left + " " + left.hashCode() + ' ' + left.equals(null) + left.equals("a"));
            for (Object right : records) {
                results.add(String.valueOf(left.equals(right)));
            }
        }
        Arrayed arrayed = new Arrayed(null, null, Arrays.asList("t", null));
        results.add(arrayed + " " + arrayed.equals(new Arrayed(null, new char[0], arrayed.texts())));
        results.add(String.valueOf(arrayed.hashCode()));
        record Local(Local next) {}
        results.add(new Local(new Local(null)).toString());
    }
}
