/** HTTP client of an entry, used by the command line. */
package org.chivetally.command.client;
