/** The process that callers and operators talk to: its settings, its start and its end. */
package org.chivetally.entry;
