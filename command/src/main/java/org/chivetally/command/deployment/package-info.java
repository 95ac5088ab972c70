/** Whole deployments in one process. */
package org.chivetally.command.deployment;
