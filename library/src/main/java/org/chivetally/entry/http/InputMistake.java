package org.chivetally.entry.http;

/**
 * One mistake in a request.
 *
 * @param place such as {@code tasks[3].payload}, or {@link #BODY} for the body as a whole
 */
public record InputMistake(String place, String message) {
    /** Place of a mistake that concerns the body as a whole. */
    public static final String BODY = "body";
}
