package org.chivetally.document;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Parse;
import org.snakeyaml.engine.v2.events.AliasEvent;
import org.snakeyaml.engine.v2.events.Event;
import org.snakeyaml.engine.v2.events.MappingStartEvent;
import org.snakeyaml.engine.v2.events.NodeEvent;
import org.snakeyaml.engine.v2.events.ScalarEvent;
import org.snakeyaml.engine.v2.events.SequenceStartEvent;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.ReaderException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;

/**
 * Builds nodes from the events of a YAML parser.
 *
 * <p>Guards against malicious texts: nested aliases can expand a few lines to gigabytes, and a thousand opening
 * brackets overflow the stack. Therefore anchors, aliases and tags are rejected, and so are texts that are nested
 * deeper than {@link #MAXIMUM_DEPTH} or longer than {@link #MAXIMUM_LENGTH}. This bounds the number of nodes by the
 * length of the text, and the recursion by the depth.
 */
final class NodeReader {
    /** Maximum nesting depth of lists and mappings. */
    static final int MAXIMUM_DEPTH = 64;

    /** Maximum length of a text, in characters. */
    static final int MAXIMUM_LENGTH = 4 * 1024 * 1024;

    private final String place;
    private final String text;
    private Event lastEvent;

    private NodeReader(String place, String text) {
        this.place = place;
        this.text = text;
    }

    /** The documents of a text that precede the first syntax error, and that error. */
    record ParseResult(List<DocumentNode> documents, Optional<Mistake> mistake) {}

    static ParseResult read(String place, String text) {
        return new NodeReader(place, text).readAll();
    }

    private ParseResult readAll() {
        List<DocumentNode> documents = new ArrayList<>();
        if (text.length() > MAXIMUM_LENGTH) {
            return new ParseResult(
                    documents, Optional.of(mistake(1, 1, "longer than " + MAXIMUM_LENGTH + " characters")));
        }
        try {
            readDocuments(documents);
            return new ParseResult(documents, Optional.empty());
        } catch (UnsupportedSyntaxException refused) {
            return new ParseResult(documents, Optional.of(refused.mistake));
        } catch (YamlEngineException malformed) {
            return new ParseResult(documents, Optional.of(mistakeOf(malformed)));
        } catch (RuntimeException fault) {
            // A bug of the parser, such as an index out of bounds on unusual input, would otherwise fail the request or
            // the start of the daemon with a stack trace. The text is rejected like any malformed one, and the mistake
            // is reported at the last parsed event.
            return new ParseResult(documents, Optional.of(mistakeAtLastEvent("malformed text: " + fault.getMessage())));
        }
    }

    private void readDocuments(List<DocumentNode> documents) {
        LoadSettings settings = LoadSettings.builder()
                .setLabel(place)
                .setParseComments(false)
                .setCodePointLimit(MAXIMUM_LENGTH)
                .build();
        Iterator<Event> events = new Parse(settings).parseString(text).iterator();
        while (events.hasNext()) {
            lastEvent = events.next();
            if (lastEvent.getEventId() == Event.ID.DocumentStart) {
                documents.add(readNode(events, 0));
            }
        }
    }

    private DocumentNode readNode(Iterator<Event> events, int depth) {
        return nodeOf(next(events), events, depth);
    }

    private DocumentNode nodeOf(Event event, Iterator<Event> events, int depth) {
        int line = lineOf(event);
        int column = columnOf(event);
        rejectUnsupported(event, depth);
        return switch (event) {
            case ScalarEvent scalar -> new DocumentNode.Scalar(scalar.getValue(), scalar.isPlain(), line, column);
            case SequenceStartEvent ignored -> new DocumentNode.Sequence(readItems(events, depth + 1), line, column);
            case MappingStartEvent ignored -> new DocumentNode.Mapping(readValues(events, depth + 1), line, column);
            default -> throw unsupportedSyntax(event, "a value is needed here");
        };
    }

    private List<DocumentNode> readItems(Iterator<Event> events, int depth) {
        List<DocumentNode> items = new ArrayList<>();
        Event event = next(events);
        while (event.getEventId() != Event.ID.SequenceEnd) {
            items.add(nodeOf(event, events, depth));
            event = next(events);
        }
        return items;
    }

    private List<DocumentNode.MappingEntry> readValues(Iterator<Event> events, int depth) {
        List<DocumentNode.MappingEntry> values = new ArrayList<>();
        Event event = next(events);
        while (event.getEventId() != Event.ID.MappingEnd) {
            if (!(nodeOf(event, events, depth) instanceof DocumentNode.Scalar key)) {
                throw unsupportedSyntax(event, "a key must be a single value");
            }
            values.add(new DocumentNode.MappingEntry(key, readNode(events, depth)));
            event = next(events);
        }
        return values;
    }

    private Event next(Iterator<Event> events) {
        lastEvent = events.next();
        return lastEvent;
    }

    private void rejectUnsupported(Event event, int depth) {
        if (depth > MAXIMUM_DEPTH) {
            throw unsupportedSyntax(event, "nested deeper than " + MAXIMUM_DEPTH + " levels");
        }
        if (event instanceof AliasEvent) {
            throw unsupportedSyntax(event, "aliases are not allowed");
        }
        if (event instanceof NodeEvent node && node.getAnchor().isPresent()) {
            throw unsupportedSyntax(event, "anchors are not allowed");
        }
        if (hasTag(event)) {
            throw unsupportedSyntax(event, "tags are not allowed");
        }
    }

    private static boolean hasTag(Event event) {
        return switch (event) {
            case ScalarEvent scalar -> scalar.getTag().isPresent();
            case SequenceStartEvent list -> list.getTag().isPresent();
            case MappingStartEvent section -> section.getTag().isPresent();
            default -> false;
        };
    }

    private UnsupportedSyntaxException unsupportedSyntax(Event event, String message) {
        return new UnsupportedSyntaxException(mistake(lineOf(event), columnOf(event), message));
    }

    private Mistake mistakeOf(YamlEngineException malformed) {
        if (malformed instanceof MarkedYamlEngineException marked) {
            Optional<Mark> mark = marked.getProblemMark().or(marked::getContextMark);
            String message = "malformed text: " + marked.getProblem();
            return mark.map(at -> mistake(at.getLine() + 1, at.getColumn() + 1, message))
                    .orElseGet(() -> mistakeAtLastEvent(message));
        }
        if (malformed instanceof ReaderException unreadable) {
            return mistakeAt(unreadable.getPosition(), "a character that a text can't hold");
        }
        return mistakeAtLastEvent("malformed text: " + malformed.getMessage());
    }

    private Mistake mistakeAt(int position, String message) {
        int end = Math.clamp(position, 0, text.length());
        String before = text.substring(0, end);
        int line = (int) before.chars().filter(character -> character == '\n').count() + 1;
        int column = end - before.lastIndexOf('\n');
        return mistake(line, column, message);
    }

    private Mistake mistakeAtLastEvent(String message) {
        if (lastEvent == null) {
            return mistake(1, 1, message);
        }
        return mistake(lineOf(lastEvent), columnOf(lastEvent), message);
    }

    private Mistake mistake(int line, int column, String message) {
        return new Mistake(place + ":" + line + ":" + column, "", message);
    }

    private static int lineOf(Event event) {
        return event.getStartMark().map(mark -> mark.getLine() + 1).orElse(1);
    }

    private static int columnOf(Event event) {
        return event.getStartMark().map(mark -> mark.getColumn() + 1).orElse(1);
    }

    /** Unwinds the recursion when the text contains unsupported syntax; caught within this class. */
    private static final class UnsupportedSyntaxException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private final transient Mistake mistake;

        private UnsupportedSyntaxException(Mistake mistake) {
            super(mistake.message());
            this.mistake = mistake;
        }
    }
}
