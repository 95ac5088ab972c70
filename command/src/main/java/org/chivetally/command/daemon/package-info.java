/** Logging, startup and graceful stop of long-running processes. */
package org.chivetally.command.daemon;
