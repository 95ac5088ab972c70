package org.chivetally.resource;

import java.util.Optional;

/** The configuration of this entry as other processes get it. Safe from any thread, and never blocking. */
public interface ConfigurationExchange {
    /** Returns the version in force here. */
    long version();

    /** Returns what an agent uses of the configuration. */
    ConfigurationSnapshot forAgent(String service, String backend);

    /** Returns the whole configuration if it is newer than another entry's. */
    Optional<ConfigurationSnapshot> forEntry(long haveVersion);

    /** Takes another entry's configuration if it is whole and newer. */
    void offer(long version, byte[] snapshot);

    /** Returns an exchange of a process without configuration. */
    static ConfigurationExchange none() {
        return new NoConfiguration();
    }
}
