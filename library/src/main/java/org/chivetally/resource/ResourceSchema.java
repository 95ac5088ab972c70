package org.chivetally.resource;

import java.util.Optional;
import org.chivetally.document.Section;
import tools.jackson.databind.node.ObjectNode;

/**
 * Checks the spec of one kind, fills defaults and gives the typed value.
 *
 * @param <T> typed spec
 */
public sealed interface ResourceSchema<T> permits BackendServerSchema, RoutingSchema, ServiceSchema, TeamSchema {
    /** Reads a spec; empty when the document has mistakes, all of which are noted in it. */
    Optional<T> read(String name, Section spec);

    /** Writes a typed spec with all its values, in the form that {@link #read} takes. */
    ObjectNode write(T value);

    /** Reads a spec into canonical JSON text; empty when the document has mistakes. */
    default Optional<String> canonical(String name, Section spec) {
        return read(name, spec).map(this::write).map(ObjectNode::toString);
    }
}
