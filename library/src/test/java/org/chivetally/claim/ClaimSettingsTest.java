package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Checks the limits between the settings of claims. */
class ClaimSettingsTest {
    private static final Duration RETENTION = Duration.ofHours(1);

    /**
     * If the window exceeded the log's retention, a key's claim could expire in the log while the key is still taken.
     */
    @Test
    void windowMustNotExceedLogRetention() {
        Duration margin = Duration.ofSeconds(8);
        ClaimSettings settings = ClaimSettings.defaults(RETENTION.minus(margin), RETENTION);
        assertThat(settings.recordedWindow(), is(RETENTION));
        Exception exception = Assertions.assertThrows(
                IllegalArgumentException.class,
                () -> ClaimSettings.defaults(RETENTION.minus(margin).plusMillis(1), RETENTION));
        assertThat(exception.getMessage(), containsString("must not exceed logRetention"));
    }
}
