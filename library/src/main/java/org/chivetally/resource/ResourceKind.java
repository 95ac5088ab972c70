package org.chivetally.resource;

import java.util.Optional;

/** Kinds of resources that operators declare. */
public enum ResourceKind {
    /** A backend server instance and how it tells its state. */
    BACKEND_SERVER("backendservers", "backend-server", new BackendServerSchema()),
    /** A service and how its tasks may be run. */
    SERVICE("services", "service", new ServiceSchema()),
    /** A team and its quota. */
    TEAM("teams", "team", new TeamSchema()),
    /** Numbers of placement and of connections. */
    ROUTING("routings", "routing", new RoutingSchema());

    private final String plural;
    private final String singular;
    private final ResourceSchema<?> schema;

    ResourceKind(String plural, String singular, ResourceSchema<?> schema) {
        this.plural = plural;
        this.singular = singular;
        this.schema = schema;
    }

    /** Returns the word in paths, such as {@code services}. */
    public String plural() {
        return plural;
    }

    /** Returns the word in documents, such as {@code service}. */
    public String singular() {
        return singular;
    }

    /** Returns the schema of the kind's specs. */
    public ResourceSchema<?> schema() {
        return schema;
    }

    /** Returns the kind of either word; empty when there is none. */
    public static Optional<ResourceKind> of(String word) {
        for (ResourceKind kind : values()) {
            if (kind.plural.equals(word) || kind.singular.equals(word)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
