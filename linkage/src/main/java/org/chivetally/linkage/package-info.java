/**
 * A build step on class files: call sites that the JVM would link by generating classes at run time become calls of
 * plain methods. The processes of the product don't load this package.
 */
package org.chivetally.linkage;
