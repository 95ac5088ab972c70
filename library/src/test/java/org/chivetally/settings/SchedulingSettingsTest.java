package org.chivetally.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.chivetally.errors.ChivetallyException;
import org.junit.jupiter.api.Test;

class SchedulingSettingsTest {
    private static SchedulingSettings read(String text) {
        return SettingsFile.read("test", text, SchedulingSettings::read);
    }

    /** A feature that is enabled without its setting would change the scheduling of existing deployments. */
    @Test
    void disablesAllFeaturesByDefault() {
        assertThat(read("{}"), equalTo(SchedulingSettings.NONE));
    }

    @Test
    void readsEnabledFeatures() {
        assertThat(
                read("learnedSpeeds: true\nfairShares: true\ncrashLimit: 2\n"),
                equalTo(new SchedulingSettings(true, true, 2)));
    }

    /** A job must not fail after a single crash, which may have been caused by another task on the minion. */
    @Test
    void rejectsACrashLimitOfOne() {
        assertThrows(ChivetallyException.class, () -> read("crashLimit: 1\n"));
    }
}
