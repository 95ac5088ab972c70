package org.chivetally.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.chivetally.errors.ChivetallyException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QueueSettingsTest {
    private static QueueSettings read(String host) {
        String text = """
                process: {name: entry-1, failureDomain: north}
                frames: {host: "%s", port: 8161, metricsPort: 8162}
                log: {address: "10.1.0.2:80", partitions: 16}
                statusRetention: 120s
                drainTimeout: 6s
                """;
        return SettingsFile.read("test", text.formatted(host), QueueSettings::read);
    }

    @Test
    void readsTheAddressOfTheProcess() {
        assertThat(read("10.1.0.13").frames(), is(new HostPort("10.1.0.13", 8161)));
    }

    /** Other processes ignore an announcement without an IP address, so the process would never be connected. */
    @ParameterizedTest
    @ValueSource(strings = {"entry-1.example", "localhost", "0.0.0.0", "10.1.0.300"})
    void rejectsAHostThatIsNoAddress(String host) {
        ChivetallyException rejected = assertThrows(ChivetallyException.class, () -> read(host));
        assertThat(rejected.getMessage(), containsString("frames.host"));
    }
}
