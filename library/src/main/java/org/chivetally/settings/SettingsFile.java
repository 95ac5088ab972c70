package org.chivetally.settings;

import java.nio.file.Path;
import java.util.function.Function;
import org.chivetally.document.Document;
import org.chivetally.document.Section;
import org.chivetally.document.Utf8;
import org.chivetally.errors.ErrorCode;

/** Reads settings files. */
public final class SettingsFile {
    private SettingsFile() {}

    /** Reads an entry's settings; throws {@link ErrorCode#INVALID_INPUT} with all mistakes in the file. */
    public static EntryDaemonSettings readEntry(Path file) {
        return read(file.toString(), Utf8.read(file), EntryDaemonSettings::read);
    }

    /** Reads an agent's settings; throws {@link ErrorCode#INVALID_INPUT} with all mistakes in the file. */
    public static AgentDaemonSettings readAgent(Path file) {
        return read(file.toString(), Utf8.read(file), AgentDaemonSettings::read);
    }

    /**
     * Reads settings from a text; throws {@link ErrorCode#INVALID_INPUT} with all mistakes in it.
     *
     * @param place name of the file, used as prefix of the place of each mistake
     * @param text content of the file
     * @param reader function that reads the settings from the top-level section
     */
    public static <T> T read(String place, String text, Function<Section, T> reader) {
        Document document = Document.parse(place, text);
        T settings = reader.apply(document.root());
        document.finish().requireNone();
        return settings;
    }
}
