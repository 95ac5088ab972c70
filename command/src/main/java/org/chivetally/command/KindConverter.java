package org.chivetally.command;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.chivetally.resource.ResourceKind;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Parses the name of a resource kind, in the singular or plural. */
final class KindConverter implements ITypeConverter<ResourceKind> {
    @Override
    public ResourceKind convert(String text) {
        return ResourceKind.of(text)
                .orElseThrow(() -> new TypeConversionException(
                        "'" + text + "' is not a kind of resource; the kinds are " + kinds()));
    }

    private static String kinds() {
        return Arrays.stream(ResourceKind.values()).map(ResourceKind::plural).collect(Collectors.joining(", "));
    }
}
