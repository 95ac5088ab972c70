package org.chivetally.daemon;

import java.util.Optional;
import org.chivetally.resource.ConfigurationExchange;
import org.chivetally.resource.ConfigurationSnapshot;
import org.chivetally.resource.ResourceService;

/** Exchanges snapshots of the resources of an entry with other processes. */
final class SharedConfiguration implements ConfigurationExchange {
    private final ResourceService resources;

    SharedConfiguration(ResourceService resources) {
        this.resources = resources;
    }

    @Override
    public long version() {
        return resources.version();
    }

    @Override
    public ConfigurationSnapshot forAgent(String service, String backend) {
        return resources.agentSnapshot(service, backend);
    }

    @Override
    public Optional<ConfigurationSnapshot> forEntry(long haveVersion) {
        return resources.wholeSnapshot(haveVersion);
    }

    @Override
    public void offer(long version, byte[] snapshot) {
        resources.offerSnapshot(version, snapshot);
    }
}
