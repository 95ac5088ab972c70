package org.chivetally.resource;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.chivetally.document.Document;
import org.chivetally.job.ServicePolicies;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TeamPolicy;
import org.chivetally.logging.EventLine;

/**
 * Typed specs of one table; immutable.
 *
 * <p>A spec that this process can't read (written by a newer one) leaves the last value that it could read in force,
 * and is logged once: falling back to what holds for undeclared services would change behaviour that nobody asked to
 * change.
 */
public final class DeclaredPolicies implements ServicePolicies {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Map<ResourceKey, Typed> typed;

    private DeclaredPolicies(Map<ResourceKey, Typed> typed) {
        this.typed = Map.copyOf(typed);
    }

    private record Typed(long version, Object value) {}

    /** Returns the policies of a table without resources. */
    public static DeclaredPolicies none() {
        return new DeclaredPolicies(Map.of());
    }

    /** Returns the policies of a newer table; what did not change is taken over. */
    public DeclaredPolicies next(Collection<Resource> resources) {
        Map<ResourceKey, Typed> next = new HashMap<>();
        for (Resource resource : resources) {
            Typed before = typed.get(resource.key());
            if (before != null && before.version() == resource.version()) {
                next.put(resource.key(), before);
            } else {
                read(resource, before).ifPresent(now -> next.put(resource.key(), now));
            }
        }
        return new DeclaredPolicies(next);
    }

    @Override
    public ServicePolicy service(String name) {
        return find(ResourceKind.SERVICE, name, ServicePolicy.class).orElseGet(() -> ServicePolicy.undeclared(name));
    }

    @Override
    public TeamPolicy team(String name) {
        return find(ResourceKind.TEAM, name, TeamPolicy.class).orElseGet(() -> TeamPolicy.undeclared(name));
    }

    /** Returns the routing configuration of a name, or what holds where nobody declared anything. */
    public RoutingPolicy routing(String name) {
        return find(ResourceKind.ROUTING, name, RoutingPolicy.class).orElseGet(() -> RoutingPolicy.undeclared(name));
    }

    /** Returns what is declared of a backend server. */
    public Optional<BackendServerPolicy> backendServer(String name) {
        return find(ResourceKind.BACKEND_SERVER, name, BackendServerPolicy.class);
    }

    private <T> Optional<T> find(ResourceKind kind, String name, Class<T> type) {
        if (!ResourceKey.isName(name)) {
            return Optional.empty();
        }
        return Optional.ofNullable(typed.get(new ResourceKey(kind, name))).map(found -> type.cast(found.value()));
    }

    private static Optional<Typed> read(Resource resource, Typed before) {
        ResourceKey key = resource.key();
        Document document = Document.parse(key.toString(), resource.spec());
        Optional<?> value = key.kind().schema().read(key.name(), document.root());
        if (value.isPresent() && document.finish().isEmpty()) {
            return Optional.of(new Typed(resource.version(), value.get()));
        }
        LOGGER.atWarning().log(
                "%s",
                EventLine.of("resource-not-understood")
                        .with("resource", key)
                        .with("version", resource.version())
                        .with("mistakes", document.finish().text()));
        return Optional.ofNullable(before).map(last -> new Typed(resource.version(), last.value()));
    }
}
