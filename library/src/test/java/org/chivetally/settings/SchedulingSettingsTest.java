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

    @Test
    void everythingIsOffUnlessNamed() {
        assertThat(read("{}"), equalTo(SchedulingSettings.NONE));
    }

    @Test
    void readsWhatIsSwitchedOn() {
        assertThat(
                read("learnedSpeeds: true\nfairShares: true\ncrashLimit: 2\n"),
                equalTo(new SchedulingSettings(true, true, 2)));
    }

    /** Guards against jobs given up for a single crash, which says nothing of the tasks that ran there. */
    @Test
    void refusesACrashLimitOfOne() {
        assertThrows(ChivetallyException.class, () -> read("crashLimit: 1\n"));
    }
}
