package org.chivetally.queue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the operators' configuration, as far as jobs go by it. */
public final class QueueConfiguration {
    private final long version;
    private final Map<String, Map<String, QueueRoute>> byHost = new HashMap<>();

    /**
     * Creates a configuration.
     *
     * @param version grows with each change
     */
    public QueueConfiguration(long version, List<QueueRoute> routes) {
        this.version = version;
        for (QueueRoute route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
        }
    }

    /** Returns the version. */
    public long version() {
        return version;
    }

    /** Returns the route of a request: the longest prefix that its path begins with. */
    public Optional<QueueRoute> route(String host, String path) {
        Map<String, QueueRoute> byPrefix = byHost.getOrDefault(host, Map.of());
        // Looked up by each beginning of the path that ends in a slash, as there may be hundreds of routes.
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            QueueRoute route = byPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
            if (end == 0) {
                break;
            }
        }
        return Optional.empty();
    }

    /** Returns the number of routes. */
    public int size() {
        int count = 0;
        for (Map<String, QueueRoute> byPrefix : byHost.values()) {
            count += byPrefix.size();
        }
        return count;
    }
}
