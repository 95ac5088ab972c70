package org.chivetally.resource;

import java.util.Optional;

/** The configuration of a process of which nothing is declared. */
final class NoConfiguration implements ConfigurationExchange {
    @Override
    public long version() {
        return 0;
    }

    @Override
    public ConfigurationSnapshot forAgent(String service, String backend) {
        return new ConfigurationSnapshot(0, new byte[0]);
    }

    @Override
    public Optional<ConfigurationSnapshot> forEntry(long haveVersion) {
        return Optional.empty();
    }

    @Override
    public void offer(long version, byte[] snapshot) {
        // Nobody here has a use for it.
    }
}
