/** Complete deployments, either in one process or as settings files of separate processes. */
package org.chivetally.command.deployment;
