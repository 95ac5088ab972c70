/** HTTP client of an entry, as the command line uses it. */
package org.chivetally.command.client;
