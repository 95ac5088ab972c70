/** What every long-running process needs: log lines and a graceful stop. */
package org.chivetally.command.daemon;
