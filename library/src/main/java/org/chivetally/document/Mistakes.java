package org.chivetally.document;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;

/** Collects the mistakes of a document in the order in which they were found; not safe for several threads. */
public final class Mistakes {
    /** Most mistakes kept; further ones are only counted, so that a hostile document can't fill the memory. */
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

    /** Tells whether none was found. */
    public boolean isEmpty() {
        return found == 0;
    }

    /** Returns how many were found, also those not kept. */
    public int count() {
        return found;
    }

    /** Returns a copy of those kept. */
    public List<Mistake> list() {
        return List.copyOf(kept);
    }

    /** Returns all of them for a person, one a line. */
    public String text() {
        String lines = kept.stream().map(Mistake::toString).collect(Collectors.joining("\n"));
        if (found == kept.size()) {
            return lines;
        }
        return lines + "\n(and " + (found - kept.size()) + " more)";
    }

    /** Throws {@link ErrorCode#INVALID_INPUT} with the whole text, unless there is none. */
    public void requireNone() {
        if (!isEmpty()) {
            throw new ChivetallyException(ErrorCode.INVALID_INPUT, text());
        }
    }
}
