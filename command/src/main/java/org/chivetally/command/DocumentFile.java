package org.chivetally.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.chivetally.document.Utf8;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.MappingIterator;
import tools.jackson.dataformat.yaml.YAMLMapper;

/** Reads files of YAML or JSON documents that are separated by {@code ---}. */
final class DocumentFile {
    private static final YAMLMapper MAPPER = YAMLMapper.shared();

    private DocumentFile() {}

    /** Returns the text of a UTF-8 file. */
    static String text(Path file) {
        return Utf8.read(file);
    }

    /** Returns the only document of a file; throws {@link ErrorCode#INVALID_INPUT} if there is not exactly one. */
    static JsonNode readOne(Path file) {
        List<JsonNode> documents = documents(file);
        if (documents.size() != 1) {
            throw new ChivetallyException(
                    ErrorCode.INVALID_INPUT, file + " contains " + documents.size() + " documents instead of one");
        }
        return documents.getFirst();
    }

    /** Returns the given file, or the YAML and JSON files of the given folder, sorted by name. */
    static List<Path> documentFiles(Path path) {
        return Files.isDirectory(path) ? documentFilesIn(path) : List.of(path);
    }

    private static List<Path> documentFilesIn(Path folder) {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(DocumentFile::isDocument).sorted().toList();
        } catch (IOException unreadable) {
            throw new ChivetallyException(
                    ErrorCode.INVALID_INPUT, folder + " can't be read: " + unreadable, unreadable);
        }
    }

    private static boolean isDocument(Path file) {
        String name = file.getFileName().toString();
        return Stream.of(".yaml", ".yml", ".json").anyMatch(name::endsWith);
    }

    private static List<JsonNode> documents(Path file) {
        List<JsonNode> found = new ArrayList<>();
        try (MappingIterator<JsonNode> documents =
                MAPPER.readerFor(JsonNode.class).readValues(text(file))) {
            documents.forEachRemaining(found::add);
        } catch (JacksonException malformed) {
            throw new ChivetallyException(
                    ErrorCode.INVALID_INPUT, file + " is malformed: " + malformed.getMessage(), malformed);
        }
        return found.stream().filter(document -> !document.isNull()).toList();
    }
}
