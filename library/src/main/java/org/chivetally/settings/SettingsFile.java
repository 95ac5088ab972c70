package org.chivetally.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;
import org.chivetally.document.Document;
import org.chivetally.document.Section;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;

/** Reads settings files. */
public final class SettingsFile {
    private SettingsFile() {}

    /** Reads an entry's settings, or throws {@link ErrorCode#INVALID_INPUT} with every mistake in the file. */
    public static EntryDaemonSettings readEntry(Path file) {
        return read(file.toString(), text(file), EntryDaemonSettings::read);
    }

    /** Reads an agent's settings, or throws {@link ErrorCode#INVALID_INPUT} with every mistake in the file. */
    public static AgentDaemonSettings readAgent(Path file) {
        return read(file.toString(), text(file), AgentDaemonSettings::read);
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

    private static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException unreadable) {
            throw new ChivetallyException(ErrorCode.INVALID_INPUT, file + " can't be read: " + unreadable, unreadable);
        }
    }
}
