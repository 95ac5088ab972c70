package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

class ClaimSettingsTest {
    private static final Duration RETENTION = Duration.ofHours(1);

    @Test
    void windowMustNotExceedLogRetention() {
        Duration slack = Duration.ofSeconds(8);
        ClaimSettings settings = ClaimSettings.defaults(RETENTION.minus(slack), RETENTION);
        assertThat(settings.recordedWindow(), is(RETENTION));
        Exception refusal = Assertions.assertThrows(
                IllegalArgumentException.class,
                () -> ClaimSettings.defaults(RETENTION.minus(slack).plusMillis(1), RETENTION));
        assertThat(refusal.getMessage(), containsString("what the log keeps"));
    }
}
