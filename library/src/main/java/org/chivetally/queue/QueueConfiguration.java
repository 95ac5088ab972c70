package org.chivetally.queue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The routes to queues in one version of the operators' configuration. */
public final class QueueConfiguration {
    private final long version;
    private final Map<String, Map<String, QueueRoute>> byHost = new HashMap<>();

    /**
     * Creates a configuration.
     *
     * @param version version number, which increases with each change
     * @param routes routes to the queues
     */
    public QueueConfiguration(long version, List<QueueRoute> routes) {
        this.version = version;
        for (QueueRoute route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
        }
    }

    /** Returns the version number. */
    public long version() {
        return version;
    }

    /**
     * Returns the route with the longest prefix of a request's path, if there is one.
     *
     * @param host host named in the request, without port
     * @param path path of the request
     */
    public Optional<QueueRoute> route(String host, String path) {
        Map<String, QueueRoute> byPrefix = byHost.getOrDefault(host, Map.of());
        // Looks up each prefix of the path that ends in a slash; a scan would be slow with hundreds of routes.
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
