package org.chivetally.entry.http;

/** One mistake in a request and its place, such as {@code tasks[3].payload}. */
public record InputMistake(String place, String message) {}
