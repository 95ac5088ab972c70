/** Connections to agents and other entries: dialling, heartbeats, silence, and the shell of the dispatcher. */
package org.chivetally.entry.link;
