package org.chivetally.entry;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.server.Route;
import org.chivetally.entry.submission.UndeclaredPolicies;
import org.chivetally.job.ServicePolicies;
import org.chivetally.resource.ConfigurationExchange;

/**
 * What other parts of the program add to an entry.
 *
 * @param policies what operators declared
 * @param routes routes that are served beside the entry's own, such as those of resources
 * @param missing what of these parts keeps the entry from being ready; empty when nothing does
 * @param configuration the configuration as other processes get it from this one
 */
public record EntryExtension(
        ServicePolicies policies,
        List<Route> routes,
        Supplier<List<String>> missing,
        ConfigurationExchange configuration) {
    /** Refuses missing parts. */
    public EntryExtension {
        Objects.requireNonNull(policies, "policies");
        Objects.requireNonNull(missing, "missing");
        Objects.requireNonNull(configuration, "configuration");
        routes = List.copyOf(routes);
    }

    /** Returns an extension that adds nothing. */
    public static EntryExtension none() {
        return new EntryExtension(new UndeclaredPolicies(), List.of(), List::of, ConfigurationExchange.none());
    }
}
