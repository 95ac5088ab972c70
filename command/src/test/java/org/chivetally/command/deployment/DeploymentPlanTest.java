package org.chivetally.command.deployment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.chivetally.settings.SettingsFile;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that the example deployments are valid and have the expected size and network delays. */
class DeploymentPlanTest {
    @ParameterizedTest
    @CsvSource({"jylland, 500, 1000, 64", "tasmania, 1000, 3000, 16"})
    void readsTheExampleDeployments(String name, long domainDelayMicros, long clientDelayMicros, int processors)
            throws IOException {
        Path file = Path.of("..", "examples", "deployments", name + ".yaml");
        DeploymentPlan plan = SettingsFile.read(file.toString(), Files.readString(file), DeploymentPlan::read);
        assertThat(plan.name(), is(name));
        assertThat(plan.failureDomains(), hasSize(3));
        assertThat(plan.httpPorts(), hasSize(3));
        assertThat(plan.minions() * plan.slots(), is(88));
        assertThat(plan.delayBetweenFailureDomains().toNanos() / 1000, is(domainDelayMicros));
        assertThat(plan.delayToClients().toNanos() / 1000, is(clientDelayMicros));
        assertThat(plan.worker().processorMillis(), is(processors * 1000L));
    }
}
