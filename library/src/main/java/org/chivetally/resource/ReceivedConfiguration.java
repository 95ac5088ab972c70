package org.chivetally.resource;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.atomic.AtomicReference;
import org.chivetally.job.ServicePolicies;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TeamPolicy;
import org.chivetally.logging.EventLine;
import org.chivetally.time.NanoClock;

/**
 * The resources as an agent has them: what entries push to it. Safe from any thread.
 *
 * <p>Several entries push, each from its own view; only a greater version is taken, so that a slow entry can't take a
 * change back.
 */
public final class ReceivedConfiguration implements ServicePolicies {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final NanoClock clock;
    private final AtomicReference<ResourceView> view;

    /** Creates a configuration without resources at version 0. */
    public ReceivedConfiguration(NanoClock clock) {
        this.clock = clock;
        this.view = new AtomicReference<>(
                new ResourceView(ResourceTable.empty(), DeclaredPolicies.none(), clock.nanos(), false));
    }

    /** Takes a snapshot if it is whole and newer; tells whether it did. */
    public boolean offerSnapshot(long version, byte[] snapshot) {
        if (version <= version()) {
            return false;
        }
        switch (SnapshotCodec.decode(snapshot)) {
            case SnapshotCodec.Decoded.Refused refused -> {
                LOGGER.atWarning().log(
                        "%s",
                        EventLine.of("snapshot-refused")
                                .with("version", version)
                                .with("reason", refused.reason()));
                return false;
            }
            case SnapshotCodec.Decoded.Whole whole -> {
                return whole.table().version() == version && take(whole.table());
            }
        }
    }

    private synchronized boolean take(ResourceTable table) {
        ResourceView before = view.get();
        if (table.version() <= before.table().version()) {
            return false;
        }
        DeclaredPolicies policies = before.policies().next(table.all());
        view.set(new ResourceView(table, policies, clock.nanos(), true));
        LOGGER.atInfo().log(
                "%s",
                EventLine.of("configuration-in-force")
                        .with("version", table.version())
                        .with("before", before.table().version()));
        return true;
    }

    /** Returns the version in force here, for heartbeats. */
    public long version() {
        return view.get().table().version();
    }

    /** Returns the typed specs in force here. */
    public DeclaredPolicies policies() {
        return view.get().policies();
    }

    @Override
    public ServicePolicy service(String name) {
        return policies().service(name);
    }

    @Override
    public TeamPolicy team(String name) {
        return policies().team(name);
    }
}
