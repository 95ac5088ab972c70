package org.chivetally.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Paths of an entry's HTTP interface. */
final class ResourcePath {
    private static final String ROOT = "/v1/";
    private static final String JOBS = ROOT + "jobs";

    private ResourcePath() {}

    static String kind(String kind) {
        return ROOT + encoded(kind);
    }

    static String resource(String kind, String name) {
        return kind(kind) + "/" + encoded(name);
    }

    static String jobs() {
        return JOBS;
    }

    static String job(String name) {
        return JOBS + "/" + encoded(name);
    }

    static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
