package org.chivetally.document;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;

/** The mistakes of a document, in the order in which they were found. Not thread-safe. */
public final class Mistakes {
    /** Maximum number of stored mistakes; further ones are only counted, to bound memory for malicious documents. */
    public static final int MAXIMUM_KEPT = 100;

    private final List<Mistake> kept = new ArrayList<>();
    private int found;

    /** Adds a mistake. */
    public void add(Mistake mistake) {
        found++;
        if (kept.size() < MAXIMUM_KEPT) {
            kept.add(mistake);
        }
    }

    /** Adds all mistakes of another document. */
    public void addAll(Mistakes others) {
        found += others.found - others.kept.size();
        others.kept.forEach(this::add);
    }

    /** Returns whether no mistake was found. */
    public boolean isEmpty() {
        return found == 0;
    }

    /** Returns the number of mistakes found, including those not stored. */
    public int count() {
        return found;
    }

    /** Returns the stored mistakes. */
    public List<Mistake> list() {
        return List.copyOf(kept);
    }

    /** Returns the stored mistakes as text for users, one per line. */
    public String text() {
        String lines = kept.stream().map(Mistake::toString).collect(Collectors.joining("\n"));
        if (found == kept.size()) {
            return lines;
        }
        return lines + "\n(and " + (found - kept.size()) + " more)";
    }

    /** Throws {@link ErrorCode#INVALID_INPUT} with {@link #text} as its message if there are mistakes. */
    public void requireNone() {
        if (!isEmpty()) {
            throw new ChivetallyException(ErrorCode.INVALID_INPUT, text());
        }
    }
}
