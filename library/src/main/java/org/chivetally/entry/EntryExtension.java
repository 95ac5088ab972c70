package org.chivetally.entry;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.server.Route;
import org.chivetally.entry.submission.UndeclaredPolicies;
import org.chivetally.job.ServicePolicies;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.wire.v1.Frame;

/**
 * What other parts of the program add to an entry.
 *
 * @param policies what operators declared
 * @param routes routes that are served beside the entry's own, such as those of resources
 * @param frames told of inbound frames that the entry itself has no use for, and of closed inbound connections
 * @param missing what of these parts keeps the entry from being ready; empty when nothing does
 * @param configurationVersion version of the configuration in force, for introductions
 */
public record EntryExtension(
        ServicePolicies policies,
        List<Route> routes,
        FrameListener frames,
        Supplier<List<String>> missing,
        Supplier<Long> configurationVersion) {
    /** Refuses missing parts. */
    public EntryExtension {
        Objects.requireNonNull(policies, "policies");
        Objects.requireNonNull(frames, "frames");
        Objects.requireNonNull(missing, "missing");
        Objects.requireNonNull(configurationVersion, "configurationVersion");
        routes = List.copyOf(routes);
    }

    /** Returns an extension that adds nothing. */
    public static EntryExtension none() {
        return new EntryExtension(new UndeclaredPolicies(), List.of(), new Ignored(), List::of, () -> 0L);
    }

    private record Ignored() implements FrameListener {
        @Override
        public void connected(FrameConnection connection) {}

        @Override
        public void received(FrameConnection connection, Frame frame) {}

        @Override
        public void disconnected(FrameConnection connection, String reason) {}
    }
}
