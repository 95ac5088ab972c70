/** Connections of an entry to agents and other entries: dialling, heartbeats, and detection of silent connections. */
package org.chivetally.entry.link;
