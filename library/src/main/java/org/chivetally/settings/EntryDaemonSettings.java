package org.chivetally.settings;

import java.time.Duration;
import java.util.Objects;
import org.chivetally.document.Section;

/**
 * Settings of an entry process.
 *
 * @param process settings that all daemons share
 * @param http address of the HTTP interface for callers and operators
 * @param claims times and rates of claims
 */
public record EntryDaemonSettings(ProcessSettings process, HostPort http, EntryClaimSettings claims) {
    private static final Duration DAY = Duration.ofDays(1);
    private static final Duration HOUR = Duration.ofHours(1);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final Duration DEFAULT_WINDOW = Duration.ofMinutes(10);
    private static final Duration MONTH = Duration.ofDays(31);
    private static final Duration MINIMUM_CLAIM_TIMEOUT = Duration.ofMillis(100);
    private static final Duration DEFAULT_LOG_RETENTION = Duration.ofMinutes(30);
    private static final Duration DEFAULT_LEASE = Duration.ofSeconds(6);
    private static final Duration DEFAULT_AGENT_RETENTION = Duration.ofMinutes(5);
    private static final Duration DEFAULT_CLAIM_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DEFAULT_TICKET_AGE = Duration.ofSeconds(3);
    private static final int DEFAULT_APPENDS_PER_SECOND = 30;
    private static final int MAXIMUM_APPENDS_PER_SECOND = 1000;

    /** Rejects missing components. */
    public EntryDaemonSettings {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(http, "http");
        Objects.requireNonNull(claims, "claims");
    }

    /** Reads the settings from a document; they must not be used if the document has mistakes. */
    public static EntryDaemonSettings read(Section root) {
        return new EntryDaemonSettings(
                SettingsSections.process(root),
                SettingsSections.listener(root.section("http")),
                claims(root.section("claims")));
    }

    private static EntryClaimSettings claims(Section section) {
        EntryClaimSettings claims = new EntryClaimSettings(
                section.duration("window", MINUTE, DAY, DEFAULT_WINDOW),
                section.duration("logRetention", MINUTE, MONTH, DEFAULT_LOG_RETENTION),
                section.duration("lease", SECOND, MINUTE, DEFAULT_LEASE),
                section.duration("ticketAge", SECOND, MINUTE, DEFAULT_TICKET_AGE),
                section.duration("agentRetention", SECOND, HOUR, DEFAULT_AGENT_RETENTION),
                section.duration("claimTimeout", MINIMUM_CLAIM_TIMEOUT, MINUTE, DEFAULT_CLAIM_TIMEOUT),
                (int) section.integer("appendsPerSecond", 1, MAXIMUM_APPENDS_PER_SECOND, DEFAULT_APPENDS_PER_SECOND));
        Duration minimumRetention = claims.window().plus(claims.lease()).plus(claims.claimTimeout());
        if (minimumRetention.compareTo(claims.logRetention()) > 0) {
            section.mistake("logRetention", "must not be shorter than window, lease and claimTimeout together");
        }
        if (claims.agentRetention().compareTo(claims.ticketAge().multipliedBy(2)) < 0) {
            section.mistake("agentRetention", "must be at least twice ticketAge");
        }
        return claims;
    }
}
