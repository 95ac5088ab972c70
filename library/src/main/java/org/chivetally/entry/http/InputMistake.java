package org.chivetally.entry.http;

/**
 * Validation error in a request.
 *
 * @param place location of the error, such as {@code tasks[3].payload}, or {@link #BODY} for the body as a whole
 * @param message description of the error for the client
 */
public record InputMistake(String place, String message) {
    /** Place of an error that concerns the body as a whole. */
    public static final String BODY = "body";
}
