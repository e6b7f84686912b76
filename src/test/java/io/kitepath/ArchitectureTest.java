package io.kitepath;

import static com.tngtech.archunit.lang.conditions.ArchConditions.haveNameMatching;
import static com.tngtech.archunit.lang.conditions.ArchConditions.not;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.members;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Who may know whom; what docs/design.md says of the packages holds in the code. */
class ArchitectureTest {
    private static final JavaClasses CODE =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("io.kitepath");

    @Test
    void theCoreKnowsNoSocketsFilesOrWire() {
        noClasses()
                .that()
                .resideInAPackage("io.kitepath.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "io.kitepath.wire..",
                        "io.kitepath.net..",
                        "java.net..",
                        "java.nio..",
                        "java.io..",
                        "com.esotericsoftware..",
                        "org.msgpack..",
                        "com.fasterxml..",
                        "io.micrometer..")
                .check(CODE);
    }

    @Test
    void theCoreTakesTimeAndThreadsFromOutside() {
        noClasses()
                .that()
                .resideInAPackage("io.kitepath.core..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .resideInAnyPackage("java.util.concurrent..", "java.time..")
                .check(CODE);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("io.kitepath.core.(*)").should().beFreeOfCycles().check(CODE);
        slices().matching("io.kitepath.(*)..").should().beFreeOfCycles().check(CODE);
    }

    @Test
    void eachRoomOfTheCoreKnowsOnlyWhatItMay() {
        layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("io.kitepath.core..")
                .layer("node")
                .definedBy("io.kitepath.core")
                .layer("cell")
                .definedBy("io.kitepath.core.cell")
                .layer("service")
                .definedBy("io.kitepath.core.service")
                .layer("scaling")
                .definedBy("io.kitepath.core.scaling")
                .layer("role")
                .definedBy("io.kitepath.core.role")
                .layer("scheduling")
                .definedBy("io.kitepath.core.scheduling")
                .layer("leadership")
                .definedBy("io.kitepath.core.leadership")
                .layer("state")
                .definedBy("io.kitepath.core.state")
                .layer("shard")
                .definedBy("io.kitepath.core.shard")
                .layer("port")
                .definedBy("io.kitepath.core.port")
                .whereLayer("node")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("cell")
                .mayOnlyBeAccessedByLayers("node")
                .whereLayer("service")
                .mayOnlyBeAccessedByLayers("node", "cell")
                .whereLayer("scaling")
                .mayOnlyBeAccessedByLayers("node")
                .whereLayer("role")
                .mayOnlyBeAccessedByLayers("node", "scaling")
                .whereLayer("scheduling")
                .mayOnlyBeAccessedByLayers("node", "scaling", "cell")
                .whereLayer("leadership")
                .mayOnlyBeAccessedByLayers("node", "service", "role")
                .whereLayer("state")
                .mayOnlyBeAccessedByLayers(
                        "node", "service", "leadership", "scaling", "cell", "role")
                .whereLayer("shard")
                .mayOnlyBeAccessedByLayers(
                        "node", "service", "scaling", "scheduling", "state", "cell", "role")
                .check(CODE);
    }

    @Test
    void onlyTheWireHasTheProtocolsNames() {
        members()
                .that()
                .areDeclaredInClassesThat()
                .resideOutsideOfPackage("io.kitepath.wire..")
                .should(
                        not(
                                haveNameMatching(
                                        "(?i).*(baton|sheet|tenure|crew|loaner|winddown|tether|urgency).*")))
                .check(CODE);
    }
}
