package org.chivetally.command.deployment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.settings.SettingsFile;

/** Reads deployment plans, either from a file or by the name of an example that ships with the working copy. */
public final class DeploymentCatalogue {
    private static final String HOME_PROPERTY = "chivetally.home";

    private DeploymentCatalogue() {}

    /** Reads a deployment by the path of a {@code .yaml} file or by the name of an example. */
    public static DeploymentPlan read(String nameOrFile) {
        Path file = nameOrFile.endsWith(".yaml")
                ? Path.of(nameOrFile)
                : example("deployments").resolve(nameOrFile + ".yaml");
        try {
            return SettingsFile.read(file.toString(), Files.readString(file), DeploymentPlan::read);
        } catch (IOException unreadable) {
            throw new ChivetallyException(
                    ErrorCode.INVALID_INPUT, "can't read deployment " + nameOrFile + ": " + unreadable, unreadable);
        }
    }

    /** Returns the path of a file or folder in the examples of the working copy. */
    public static Path example(String name) {
        return Path.of(System.getProperty(HOME_PROPERTY, "."), "examples", name);
    }
}
