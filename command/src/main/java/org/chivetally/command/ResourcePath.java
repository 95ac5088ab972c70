package org.chivetally.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.chivetally.resource.ResourceKind;

/** Paths of an entry's HTTP interface. */
final class ResourcePath {
    private static final String ROOT = "/v1/";
    private static final String JOBS = ROOT + "jobs";

    private ResourcePath() {}

    static String apply(boolean dryRun) {
        return ROOT + "apply" + (dryRun ? "?dryRun=true" : "");
    }

    static String kind(ResourceKind kind) {
        return ROOT + kind.plural();
    }

    static String resource(ResourceKind kind, String name) {
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
