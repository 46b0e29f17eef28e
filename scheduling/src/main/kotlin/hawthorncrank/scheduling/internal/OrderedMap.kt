package hawthorncrank.scheduling.internal

/**
 * An immutable map in key order, as a height-balanced (AVL) tree with shared subtrees. The collections library in use
 * has no ordered immutable map. Insertion, removal, first and last take logarithmic time.
 */
internal class OrderedMap<Key : Comparable<Key>, Value> private constructor(
    private val root: Node<Key, Value>?,
    val size: Int,
) {
    val isEmpty: Boolean
        get() = root == null

    fun first(): Map.Entry<Key, Value>? {
        var node = root ?: return null
        while (true) node = node.left ?: return node
    }

    fun last(): Map.Entry<Key, Value>? {
        var node = root ?: return null
        while (true) node = node.right ?: return node
    }

    operator fun get(key: Key): Value? {
        var node = root
        while (node != null) {
            val order = key.compareTo(node.key)
            if (order == 0) return node.value
            node = if (order < 0) node.left else node.right
        }
        return null
    }

    fun put(
        key: Key,
        value: Value,
    ): OrderedMap<Key, Value> {
        val known = get(key) != null
        return OrderedMap(insert(root, key, value), if (known) size else size + 1)
    }

    fun remove(key: Key): OrderedMap<Key, Value> {
        get(key) ?: return this
        return OrderedMap(delete(root, key), size - 1)
    }

    /** All entries in key order. */
    fun entries(): Sequence<Map.Entry<Key, Value>> =
        sequence {
            val path = ArrayDeque<Node<Key, Value>>()
            var node = root
            while (node != null || path.isNotEmpty()) {
                while (node != null) {
                    path.addLast(node)
                    node = node.left
                }
                val next = path.removeLast()
                yield(next)
                node = next.right
            }
        }

    private class Node<Key, Value>(
        override val key: Key,
        override val value: Value,
        val left: Node<Key, Value>?,
        val right: Node<Key, Value>?,
    ) : Map.Entry<Key, Value> {
        val height: Int = 1 + maxOf(left?.height ?: 0, right?.height ?: 0)
    }

    companion object {
        private val EMPTY = OrderedMap<Nothing, Nothing>(null, 0)

        @Suppress("UNCHECKED_CAST")
        fun <Key : Comparable<Key>, Value> empty(): OrderedMap<Key, Value> = EMPTY as OrderedMap<Key, Value>

        private fun <Key : Comparable<Key>, Value> insert(
            node: Node<Key, Value>?,
            key: Key,
            value: Value,
        ): Node<Key, Value> {
            if (node == null) return Node(key, value, null, null)
            val order = key.compareTo(node.key)
            return when {
                order == 0 -> Node(key, value, node.left, node.right)
                order < 0 -> balance(node, insert(node.left, key, value), node.right)
                else -> balance(node, node.left, insert(node.right, key, value))
            }
        }

        private fun <Key : Comparable<Key>, Value> delete(
            node: Node<Key, Value>?,
            key: Key,
        ): Node<Key, Value>? {
            if (node == null) return null
            val order = key.compareTo(node.key)
            return when {
                order < 0 -> balance(node, delete(node.left, key), node.right)
                order > 0 -> balance(node, node.left, delete(node.right, key))
                node.left == null -> node.right
                node.right == null -> node.left
                else -> {
                    var successor: Node<Key, Value> = node.right
                    while (true) successor = successor.left ?: break
                    balance(successor, node.left, delete(node.right, successor.key))
                }
            }
        }

        private fun <Key : Comparable<Key>, Value> balance(
            content: Node<Key, Value>,
            left: Node<Key, Value>?,
            right: Node<Key, Value>?,
        ): Node<Key, Value> {
            val difference = height(left) - height(right)
            if (difference > 1 && left != null) {
                if (height(left.left) >= height(left.right)) return rotateRight(content, left, right)
                return rotateRight(content, rotateLeft(left, left.left, left.right!!), right)
            }
            if (difference < -1 && right != null) {
                if (height(right.right) >= height(right.left)) return rotateLeft(content, left, right)
                return rotateLeft(content, left, rotateRight(right, right.left!!, right.right))
            }
            return Node(content.key, content.value, left, right)
        }

        private fun <Key : Comparable<Key>, Value> rotateRight(
            content: Node<Key, Value>,
            left: Node<Key, Value>,
            right: Node<Key, Value>?,
        ) = Node(left.key, left.value, left.left, Node(content.key, content.value, left.right, right))

        private fun <Key : Comparable<Key>, Value> rotateLeft(
            content: Node<Key, Value>,
            left: Node<Key, Value>?,
            right: Node<Key, Value>,
        ) = Node(right.key, right.value, Node(content.key, content.value, left, right.left), right.right)

        private fun height(node: Node<*, *>?): Int = node?.height ?: 0
    }
}
