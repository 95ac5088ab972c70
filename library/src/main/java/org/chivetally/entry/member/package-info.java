/** Membership of agents and entries: announcements in the platform log, suspicion and failure detection. */
package org.chivetally.entry.member;
