package org.chivetally;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks that decision logic uses no sockets, threads or clocks, and that packages depend only on lower layers. */
@AnalyzeClasses(packages = "org.chivetally", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule DECISIONS_PERFORM_NO_IO = noClasses()
            .that()
            .resideInAnyPackage("org.chivetally.job", "org.chivetally.placement", "org.chivetally.coordination")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("org.apache.pekko..", "io.netty..", "java.net..", "java.util.concurrent..")
            .because("decisions that depend on sockets, threads or clocks cannot be replayed");

    @ArchTest
    static final ArchRule DECISIONS_READ_NO_CLOCK = noClasses()
            .that()
            .resideInAnyPackage(
                    "org.chivetally.job",
                    "org.chivetally.placement",
                    "org.chivetally.coordination",
                    "org.chivetally.agent",
                    "org.chivetally.claim")
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .because("the clock is passed in, so that tests can control it");

    @ArchTest
    static final ArchRule NO_PEKKO_CLUSTERING = noClasses()
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "org.apache.pekko.cluster..", "org.apache.pekko.remote..", "org.apache.pekko.discovery..")
            .because("processes reach agreement through the platform's log");

    @ArchTest
    static final ArchRule JOBS_DO_NOT_DEPEND_ON_ROLES = noClasses()
            .that()
            .resideInAPackage("org.chivetally.job")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("org.chivetally.coordination..", "org.chivetally.entry..", "org.chivetally.agent..");

    @ArchTest
    static final ArchRule AGENT_DOES_NOT_DEPEND_ON_ENTRY = noClasses()
            .that()
            .resideInAPackage("org.chivetally.agent..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "org.chivetally.entry..", "org.chivetally.coordination..", "org.chivetally.placement..");

    @ArchTest
    static final ArchRule ENTRY_DOES_NOT_DEPEND_ON_AGENT = noClasses()
            .that()
            .resideInAnyPackage("org.chivetally.entry..", "org.chivetally.coordination..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.chivetally.agent..");
}
