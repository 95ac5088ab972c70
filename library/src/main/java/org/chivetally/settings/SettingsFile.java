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

    /** Reads an entry's settings, or throws {@link ErrorCode#INVALID_INPUT} with every mistake in the file. */
    public static EntryDaemonSettings readEntry(Path file) {
        return read(file.toString(), Utf8.read(file), EntryDaemonSettings::read);
    }

    /** Reads an agent's settings, or throws {@link ErrorCode#INVALID_INPUT} with every mistake in the file. */
    public static AgentDaemonSettings readAgent(Path file) {
        return read(file.toString(), Utf8.read(file), AgentDaemonSettings::read);
    }

    /**
     * Reads any settings out of a text.
     *
     * @param place name of the file, which begins the place of each mistake
     */
    public static <T> T read(String place, String text, Function<Section, T> reader) {
        Document document = Document.parse(place, text);
        T settings = reader.apply(document.root());
        document.finish().requireNone();
        return settings;
    }
}
